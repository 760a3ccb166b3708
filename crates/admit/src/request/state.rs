//! State of a request that waits or runs here.
