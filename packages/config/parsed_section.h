/*
 * A parsed section.  When a section changes, only that section is parsed
 * again; the parsed sections are then merged into a configuration and checked
 * against each other.  Private to this package.
 */
#ifndef CONFIG_PARSED_SECTION_H
#define CONFIG_PARSED_SECTION_H

#include <jansson.h>

#include "config/config.h"

struct cf_parsed_section {
    char name[Cf_SECTION_MAX];
    struct cf_data_centre *data_centres;
    size_t data_centre_count;
    struct cf_team *teams;
    size_t team_count;
    struct cf_customer *customers;
    size_t customer_count;
    struct cf_service *services;
    size_t service_count;
};

enum st_status Cf_ParseSection(const char *section, const json_t *body,
                               struct cf_parsed_section **out);
void Cf_ParsedSectionDestroy(struct cf_parsed_section *parsed);
enum st_status Cf_Assemble(const struct cf_parsed_section *const *parsed,
                           size_t count, uint64_t offset,
                           struct cf_config **out);
enum st_status Cf_KeyListsByName(const char *section, json_t *body);

#endif
