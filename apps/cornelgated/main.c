/*
 * The daemon of an entry host.  It reads its settings, serves until it
 * receives a stop signal, drains the requests in flight, and exits.
 */
#include <err.h>
#include <stdlib.h>

#include "base/machine.h"
#include "gate/daemon.h"
#include "settings.h"

int
main(int argc, char **argv)
{
    struct settings settings;
    if (Set_Read(argc, argv, &settings) != ST_OK) {
        errx(EXIT_FAILURE, "%s", St_Message());
    }
    Mc_GiveBackLarge();
    Ev_Open("cornelgated", settings.log_level);
    struct dm_daemon *daemon = NULL;
    if (Dm_Create(&settings.options, &daemon) != ST_OK) {
        errx(EXIT_FAILURE, "%s", St_Message());
    }
    int cut_requests = Dm_Run(daemon);
    Dm_Destroy(daemon);
    Ev_Close();
    return cut_requests == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
