// Package subset decides which endpoints of a service a node sends to, of those that it knows: a bounded number, so that its
// links, its evidence and its choices cost the same in a fleet of thirty nodes and of three thousand, and so that what it
// learns of an endpoint is dense enough to judge by.
//
// Nodes choose without agreement. Each works out, from the same list of nodes and endpoints, how all nodes of its hall choose
// one after the other (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2016): a node draws places on
// a circle of the endpoints and takes at each the next endpoint that has room for one more chooser. So no endpoint has many
// more choosers than another, and a node or an endpoint that comes or goes moves few choices. Lists that differ a little lead to
// choices that differ a little; nothing depends on their being equal.
package subset
