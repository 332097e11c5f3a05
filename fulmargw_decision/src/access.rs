//! Authorisation of callers by route, client account and key.
