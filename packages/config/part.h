/*
 * One section in typed form.  A change of one section parses that section
 * alone; the parts of all sections are then put together and checked against
 * each other.  For the modules of this package only.
 */
#ifndef CONFIG_PART_H
#define CONFIG_PART_H

#include <jansson.h>

#include "config/config.h"

struct cf_part {
    char section[Cf_SECTION_MAX];
    struct cf_data_centre *data_centres;
    size_t data_centre_count;
    struct cf_team *teams;
    size_t team_count;
    struct cf_customer *customers;
    size_t customer_count;
    struct cf_service *services;
    size_t service_count;
};

enum st_status Cf_PartParse(const char *section, const json_t *body,
                            struct cf_part **out);
void Cf_PartDestroy(struct cf_part *part);
enum st_status Cf_Assemble(const struct cf_part *const *parts, size_t count,
                           uint64_t offset, struct cf_config **out);
enum st_status Cf_KeyLists(const char *section, json_t *body);

#endif
