//! Choice of the backend server for a request.
