#include "flamingolatch/protocol.h"

static const char *const protocol_answer_class_names[PROTOCOL_ANSWER_CLASS_COUNT] = {
	"answered", "not-run", "misdirected", "foreign"
};

void protocol_request_clear(struct protocol_request *request)
{
	g_free(request->id);
	g_free(request->key);
	g_free(request->headers);
	g_free(request->last_event_id);
	g_free(request->resumes_id);
	g_free(request->prompt_parts);
	*request = (struct protocol_request){ 0 };
}

const char *protocol_answer_class_name(enum protocol_answer_class answer_class)
{
	return protocol_answer_class_names[answer_class];
}
