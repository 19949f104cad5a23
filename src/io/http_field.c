#include "flamingolatch/http_field.h"

#include <glib.h>
#include <string.h>

bool http_field_list_contains(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (list && *list) {
		size_t span = strcspn(list, ",");
		size_t skip = strspn(list, " \t");

		if (span >= skip + len && g_ascii_strncasecmp(list + skip, name, len) == 0 &&
		    strspn(list + skip + len, " \t") == span - skip - len)
			return true;
		list += span + (list[span] == ',');
	}
	return false;
}

bool http_field_value_is_valid(const char *value, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (g_ascii_iscntrl(value[i]) && value[i] != '\t')
			return false;
	}
	return true;
}
