/* The command that reads logs and contacts no daemon: explain. */
#include <stdio.h>

#include "command.h"
#include "loss/loss.h"

static bool
write_timeline(const void *data, FILE *out)
{
    return Ls_PrintSvg(data, out);
}

static enum st_status
print_losses(const struct ls_losses *losses, bool json)
{
    bool written =
        json ? Ls_PrintJson(losses, stdout) : Ls_PrintText(losses, stdout);
    return written ? ST_OK
                   : St_Fail(ST_INTERNAL, "standard output does not take "
                                          "what was found");
}

/* cornelctl explain [--json] [--svg FILE] FILE... */
int
Ct_Explain(const struct ct_options *options)
{
    struct ls_losses *losses = Ls_Create();
    enum st_status status =
        losses == NULL ? St_Fail(ST_NO_MEMORY, "no memory; explain fewer "
                                               "logs at once")
                       : ST_OK;
    for (size_t i = 0; i < options->file_count && status == ST_OK; i++) {
        status = Ls_AddFile(losses, options->files[i]);
    }
    if (status == ST_OK) {
        Ls_Finish(losses);
        status = print_losses(losses, options->json);
    }
    if (status == ST_OK && options->svg != NULL) {
        status = Ct_WriteFile(options->svg,
                              "name a file that you may write with --svg",
                              write_timeline, losses);
    }
    Ls_Destroy(losses);
    return Ct_Report(status);
}
