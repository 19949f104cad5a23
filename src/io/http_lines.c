#include "flamingolatch/http_lines.h"

bool http_lines_feed(struct http_lines *lines, const char *buf, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (lines->after_cr && buf[i] != '\n')
			return false;
		if (lines->chunk_ended && buf[i] != '\r')
			return false;
		lines->after_cr = buf[i] == '\r';
		lines->chunk_ended = false;
	}
	return true;
}

void http_lines_end_chunk(struct http_lines *lines)
{
	lines->chunk_ended = true;
}
