// Package subset chooses the endpoints of a service that a node sends requests to. The number is bounded for two
// reasons: a node's links, observations and choices cost the same in a fleet of thirty nodes as in one of three
// thousand, and a node sends each of its endpoints enough requests to judge it by.
//
// The nodes need no agreement. From the list of nodes and endpoints each node computes how all nodes of its hall
// choose, one after the other, by consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): a
// node draws points on a ring of the endpoints and takes at each point the next endpoint that has not reached its limit
// of nodes. So the numbers of nodes per endpoint are almost equal, and few choices change when a node or an endpoint is
// added or removed. Lists that differ a little lead to choices that differ a little; nothing depends on equal lists.
package subset
