/* Read-only queries on a node. */
#include <string.h>

#include "member/node.h"
#include "member/node_internal.h"

const char *
Nd_Id(const struct nd_node *node)
{
    return Mb_Self(node->members)->id;
}

/*
 * Returns the incarnation of this node: the wall-clock time in milliseconds at
 * which the process started, constant while it runs.
 */
uint64_t
Nd_Incarnation(const struct nd_node *node)
{
    return node->incarnation;
}

/* Returns the port in use, also when the options asked for any free port. */
uint16_t
Nd_Port(const struct nd_node *node)
{
    return Lk_Port(node->links);
}

/* Returns the membership table, which includes this node. */
const struct mb_table *
Nd_Members(const struct nd_node *node)
{
    return node->members;
}

/* Returns the fact table.  Publish with Nd_Publish(), not Fc_Publish(). */
struct fc_table *
Nd_Facts(struct nd_node *node)
{
    return node->facts;
}

/* Returns the links, on which request handlers can be set. */
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
 * Returns the member responsible for a key, by rendezvous hashing over the
 * usable members of one data centre or, when "data_centre" is NULL, of all;
 * NULL when there is none.
 */
const struct mb_record *
Nd_Responsible(const struct nd_node *node, const char *key,
               const char *data_centre)
{
    const struct mb_record *first;
    return Nd_RankByKey(node, key, data_centre, &first, 1) == 1 ? first : NULL;
}

/* Returns true when this node is responsible for a key. */
bool
Nd_IsResponsible(const struct nd_node *node, const char *key,
                 const char *data_centre)
{
    const struct mb_record *first = Nd_Responsible(node, key, data_centre);
    return first != NULL && strcmp(first->id, Nd_Id(node)) == 0;
}

/* Selects the members responsible for a key; see Mb_RankByKey(). */
size_t
Nd_RankByKey(const struct nd_node *node, const char *key,
             const char *data_centre, const struct mb_record **out, size_t max)
{
    return Mb_RankByKey(node->members, key, data_centre, out, max);
}
