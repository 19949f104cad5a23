#include "flamingolatch/stream_stop.h"

void stream_stop_reset(struct stream_stop *stop)
{
	*stop = (struct stream_stop){ 0 };
}

void stream_stop_ask(struct stream_stop *stop)
{
	stop->asked = true;
}

void stream_stop_answer(struct stream_stop *stop, enum stream_stop_answer answer)
{
	stop->asked = false;
#if defined(FL_FAULT_FORGET_DOUBT)
	/* Deliberate defect, which the tests have to detect: the last answer counts alone. */
	stop->doubted = false;
#endif
	if (answer != STREAM_STOP_REFUSED)
		stop->doubted = true;
}

enum stream_stop_verdict stream_stop_judge(const struct stream_stop *stop)
{
	if (stop->asked)
		return STREAM_STOP_WAIT;
	return stop->doubted ? STREAM_STOP_PARTIAL : STREAM_STOP_WHOLE;
}
