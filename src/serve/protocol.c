#include "flamingolatch/protocol.h"

static const char *const srf_verdict_names[SRF_VERDICT_COUNT] = { "answered", "not-run",
								  "misdirected", "foreign" };

void srf_request_clear(struct srf_request *request)
{
	g_free(request->id);
	g_free(request->key);
	g_free(request->headers);
	g_free(request->last_event_id);
	*request = (struct srf_request){ 0 };
}

const char *srf_verdict_name(enum srf_verdict verdict)
{
	return srf_verdict_names[verdict];
}
