/* Questions to a node; nothing here changes it. */
#include <string.h>

#include "member/node.h"
#include "member/node_internal.h"

/* Id of this node. */
const char *
Nd_Id(const struct nd_node *node)
{
    return Mb_Self(node->members)->id;
}

/*
 * The incarnation of this start: milliseconds of calendar time at which the
 * process began, unchanged while it runs.
 */
uint64_t
Nd_Incarnation(const struct nd_node *node)
{
    return node->incarnation;
}

/* Port in use, also when a free one was asked for. */
uint16_t
Nd_Port(const struct nd_node *node)
{
    return Lk_Port(node->links);
}

/* The members, this node included. */
const struct mb_table *
Nd_Members(const struct nd_node *node)
{
    return node->members;
}

/* The facts; publish with Nd_Publish(). */
struct fc_table *
Nd_Facts(struct nd_node *node)
{
    return node->facts;
}

/* The links, for handlers of requests. */
struct lk_links *
Nd_Links(struct nd_node *node)
{
    return node->links;
}

/* Counters since the node was created. */
const struct nd_counters *
Nd_Counters(const struct nd_node *node)
{
    return &node->counters;
}

/*
 * The member that should do the job of a key, by rendezvous hashing over the
 * usable members (of one data centre unless that is NULL); NULL when there
 * is none.
 */
const struct mb_record *
Nd_Responsible(const struct nd_node *node, const char *key,
               const char *data_centre)
{
    const struct mb_record *first;
    return Nd_Top(node, key, data_centre, &first, 1) == 1 ? first : NULL;
}

/* True when this node should do the job of a key. */
bool
Nd_IsResponsible(const struct nd_node *node, const char *key,
                 const char *data_centre)
{
    const struct mb_record *first = Nd_Responsible(node, key, data_centre);
    return first != NULL && strcmp(first->id, Nd_Id(node)) == 0;
}

/* The members responsible for a key, best first; see Mb_Top(). */
size_t
Nd_Top(const struct nd_node *node, const char *key, const char *data_centre,
       const struct mb_record **out, size_t max)
{
    return Mb_Top(node->members, key, data_centre, out, max);
}
