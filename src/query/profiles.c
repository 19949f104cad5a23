#include "../entry/entry_internal.h"

#include <string.h>

static void profiles_add_member(void *ctx, const struct member_view *view)
{
	json_array_append_new(ctx, json_pack("{s:s, s:s, s:s, s:b, s:I}", "id", view->record->id,
					     "zone", view->record->zone, "state",
					     member_state_name(view->state), "listed", view->listed,
					     "revision", (json_int_t)view->record->revision));
}

void query_profiles(struct entry *entry, struct http_req *req, const char *name)
{
	const json_t *all_rows =
		json_object_get(profile_config_snapshot(entry->profile_config), "profiles");
	json_t *matches = json_array();
	json_t *members = json_array();

	for (size_t i = 0; i < json_array_size(all_rows); i++) {
		json_t *row = json_array_get(all_rows, i);
		const char *row_name = json_string_value(json_object_get(row, "name"));

		if (!name || (row_name && strcmp(row_name, name) == 0))
			json_array_append(matches, row);
	}
	membership_each(entry->membership, profiles_add_member, members);
	if (name && json_array_size(matches) == 0) {
		json_decref(matches);
		json_decref(members);
		answer_error(entry, req, ERR_NOT_FOUND, NULL);
		return;
	}
	answer_json(req, 200,
		    json_pack("{s:I, s:I, s:o, s:o}", "revision",
			      (json_int_t)profile_config_revision(entry->profile_config),
			      "list_age_ms",
			      (json_int_t)((entry_now_us() - entry->list_read_us) / 1000),
			      "profiles", matches, "members", members));
}
