//! Ownership of shards: claims in the log, and support of a majority of the schedulers.
