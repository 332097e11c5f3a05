//! Token buckets with expiring grants between hosts.
