/* Draws the requests of each second as stacked bars. */
#include <inttypes.h>
#include <stdlib.h>

#include "loss/loss_internal.h"

/* Size and margins of the picture in pixels. */
#define Ls_WIDTH 960
#define Ls_HEIGHT 320
#define Ls_LEFT 56
#define Ls_RIGHT 16
#define Ls_TOP 40
#define Ls_BOTTOM 40

#define Ls_GRID_LINES 4
#define Ls_TIME_MARKS 8

enum bar { SERVED, LATE, LOST, BARS };

static const struct {
    const char *name;
    const char *colour;
} bars[BARS] = {
    [SERVED] = {"served in time", "#7aa974"},
    [LATE] = {"late", "#e0a33a"},
    [LOST] = {"lost", "#c0392b"},
};

struct frame {
    int64_t first; /* second since 1970 */
    int64_t seconds;
    uint64_t max_requests; /* highest number in one second */
};

static double
left_of(const struct frame *frame, int64_t second)
{
    double width = Ls_WIDTH - Ls_LEFT - Ls_RIGHT;
    return Ls_LEFT +
           width * (double)(second - frame->first) / (double)frame->seconds;
}

static double
height_of(const struct frame *frame, uint64_t requests)
{
    double height = Ls_HEIGHT - Ls_TOP - Ls_BOTTOM;
    return height * (double)requests / (double)frame->max_requests;
}

static void
print_bar(const struct frame *frame, int64_t second, uint64_t below,
          uint64_t requests, enum bar bar, FILE *out)
{
    if (requests == 0) {
        return;
    }
    double width = left_of(frame, second + 1) - left_of(frame, second);
    double bottom = Ls_HEIGHT - Ls_BOTTOM - height_of(frame, below);
    double height = height_of(frame, requests);
    fprintf(out,
            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
            "fill=\"%s\"/>\n",
            left_of(frame, second), bottom - height, width * 0.9, height,
            bars[bar].colour);
}

static void
print_grid(const struct frame *frame, FILE *out)
{
    for (int i = 0; i <= Ls_GRID_LINES; i++) {
        uint64_t requests = frame->max_requests * (uint64_t)i / Ls_GRID_LINES;
        double y = Ls_HEIGHT - Ls_BOTTOM - height_of(frame, requests);
        fprintf(out,
                "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
                "stroke=\"#ddd\"/>\n"
                "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%" PRIu64
                "</text>\n",
                Ls_LEFT, y, Ls_WIDTH - Ls_RIGHT, y, Ls_LEFT - 6, y + 4,
                requests);
    }
    int64_t step = frame->seconds / Ls_TIME_MARKS + 1;
    for (int64_t second = 0; second < frame->seconds; second += step) {
        fprintf(out,
                "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%" PRId64
                " s</text>\n",
                left_of(frame, frame->first + second),
                Ls_HEIGHT - Ls_BOTTOM + 18, second);
    }
}

static void
print_legend(FILE *out)
{
    for (int i = 0; i < BARS; i++) {
        int x = Ls_LEFT + i * 130;
        fprintf(out,
                "<rect x=\"%d\" y=\"14\" width=\"12\" height=\"12\" "
                "fill=\"%s\"/>\n<text x=\"%d\" y=\"24\">%s</text>\n",
                x, bars[i].colour, x + 18, bars[i].name);
    }
}

static struct frame
frame_of(const struct ls_row **rows, size_t count)
{
    struct frame frame = {0, 1, 1};
    for (size_t i = 0; i < count; i++) {
        frame.max_requests = rows[i]->total > frame.max_requests
                                 ? rows[i]->total
                                 : frame.max_requests;
    }
    if (count > 0) {
        frame.first = rows[0]->number;
        frame.seconds = rows[count - 1]->number - frame.first + 1;
    }
    return frame;
}

bool
Ls_PrintSvg(const struct ls_losses *losses, FILE *out)
{
    const struct ls_table *table = &losses->tables[LS_SECOND];
    const struct ls_row **rows = ls_table_sorted(table);
    size_t count = rows == NULL ? 0 : table->count;
    struct frame frame = frame_of(rows, count);
    fprintf(out,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
            "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
            Ls_WIDTH, Ls_HEIGHT);
    print_grid(&frame, out);
    print_legend(out);
    for (size_t i = 0; i < count; i++) {
        const struct ls_row *row = rows[i];
        uint64_t served = row->total - row->late - row->lost;
        print_bar(&frame, row->number, 0, served, SERVED, out);
        print_bar(&frame, row->number, served, row->late, LATE, out);
        print_bar(&frame, row->number, served + row->late, row->lost, LOST,
                  out);
    }
    fprintf(out, "</svg>\n");
    free(rows);
    return ferror(out) == 0;
}
