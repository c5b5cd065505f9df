/*
 * The commands that read neither logs nor the state of a daemon: check,
 * generate, key.
 */
#include <bsd/stdlib.h>
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/hash.h"
#include "command.h"
#include "documents.h"

#define Ct_KEY_BYTES 24
#define Ct_FILE_MAX 512

/* Reads a questionnaire, prints its problems and generates its documents. */
enum st_status
Fi_Load(const char *file, struct qn_answers **answers,
        struct qn_documents *documents)
{
    memset(documents, 0, sizeof(*documents));
    struct qn_problems problems;
    Qn_ProblemsInit(&problems, file);
    enum st_status status = Qn_Read(file, &problems, answers);
    struct qn_problem *problem;
    STAILQ_FOREACH(problem, &problems.list, link)
    {
        fprintf(stderr, "%s\n", problem->text);
    }
    Qn_ProblemsClear(&problems);
    if (status == ST_OK) {
        status = Qn_Generate(*answers, documents);
    }
    return status;
}

static void
print_plan(const char *body)
{
    json_t *document = json_loads(body, 0, NULL);
    json_t *services = json_object_get(document, "services");
    const char *name;
    json_t *service;
    json_object_foreach (services, name, service) {
        printf("  %s: %lld to %lld replicas, %.0f%% kept free, at most "
               "%.0f%% on reclaimable hosts\n",
               name,
               json_integer_value(json_object_get(service, "replicas_min")),
               json_integer_value(json_object_get(service, "replicas_max")),
               100 * json_number_value(json_object_get(service, "headroom")),
               100 * json_number_value(
                         json_object_get(service, "reclaimable_max")));
    }
    json_decref(document);
}

/* cornelctl check FILE */
int
Ct_Check(const struct ct_options *options)
{
    struct qn_answers *answers = NULL;
    struct qn_documents documents;
    enum st_status status = Fi_Load(options->operand, &answers, &documents);
    if (status == ST_OK) {
        printf("%s: %zu callers and %zu services, all answers good\n",
               options->operand, answers->caller_count,
               answers->service_count);
        for (size_t i = 0; i < documents.count; i++) {
            print_plan(documents.items[i].body);
        }
    }
    Qn_DocumentsClear(&documents);
    Qn_Destroy(answers);
    return Ct_Report(status);
}

enum st_status
Ct_WriteFile(const char *path, const char *remedy, ct_write_fn write,
             const void *data)
{
    FILE *out = fopen(path, "w");
    if (out == NULL) {
        return St_Fail(ST_INVALID, "%s cannot be written (%s): %s", path,
                       strerror(errno), remedy);
    }
    bool written = write(data, out);
    written &= fclose(out) == 0;
    return written ? ST_OK
                   : St_Fail(ST_INTERNAL,
                             "%s could not be written whole: see whether the "
                             "disk is full",
                             path);
}

static bool
write_body(const void *data, FILE *out)
{
    const struct qn_document *document = data;
    return fprintf(out, "%s\n", document->body) > 0;
}

/* Writes a section to a file; section "team/NAME" to team-NAME.json. */
static enum st_status
write_document(const char *folder, const struct qn_document *document)
{
    char file[Ct_FILE_MAX];
    snprintf(file, sizeof(file), "%s/%s.json", folder, document->section);
    char *slash = strchr(file + strlen(folder) + 1, '/');
    if (slash != NULL) {
        *slash = '-';
    }
    enum st_status status =
        Ct_WriteFile(file, "name a folder that you may write to with --out",
                     write_body, document);
    if (status == ST_OK) {
        printf("%s\n", file);
    }
    return status;
}

static void
print_documents(const struct qn_documents *documents)
{
    json_t *all = json_object();
    for (size_t i = 0; i < documents->count; i++) {
        json_object_set_new(all, documents->items[i].section,
                            json_loads(documents->items[i].body, 0, NULL));
    }
    json_dumpf(all, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(6));
    putchar('\n');
    json_decref(all);
}

/* cornelctl generate FILE [--out DIR] */
int
Ct_Generate(const struct ct_options *options)
{
    struct qn_answers *answers = NULL;
    struct qn_documents documents;
    enum st_status status = Fi_Load(options->operand, &answers, &documents);
    if (status == ST_OK && options->out_dir == NULL) {
        print_documents(&documents);
    }
    else if (status == ST_OK) {
        mkdir(options->out_dir, 0777);
        for (size_t i = 0; i < documents.count && status == ST_OK; i++) {
            status = write_document(options->out_dir, &documents.items[i]);
        }
    }
    Qn_DocumentsClear(&documents);
    Qn_Destroy(answers);
    return Ct_Report(status);
}

/* cornelctl key NAME */
int
Ct_Key(const struct ct_options *options)
{
    if (!Cf_IsName(options->operand)) {
        return Ct_Report(St_Fail(ST_INVALID,
                                 "the name \"%s\" will not do: give 1 to 47 "
                                 "letters, digits, dots, underscores or "
                                 "hyphens",
                                 options->operand));
    }
    unsigned char bytes[Ct_KEY_BYTES];
    char key[2 * Ct_KEY_BYTES + 1];
    char digest[Hash_DIGEST_HEX];
    arc4random_buf(bytes, sizeof(bytes));
    for (size_t i = 0; i < sizeof(bytes); i++) {
        snprintf(key + 2 * i, 3, "%02x", bytes[i]);
    }
    Hash_Digest(key, strlen(key), digest);
    printf("name:   %s\n", options->operand);
    printf("key:    %s\n", key);
    printf("digest: %s\n", digest);
    fprintf(stderr, "hand the key to its user and keep no copy; the digest "
                    "goes into the questionnaire\n");
    return CT_DONE;
}
