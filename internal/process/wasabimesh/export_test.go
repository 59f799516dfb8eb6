package wasabimesh

// SessionOptions returns the options of a node's session.
var SessionOptions = sessionOptions

// LinkOptions returns the options of a node's links.
var LinkOptions = linkOptions
