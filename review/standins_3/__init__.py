"""Stand-ins of the third review: store, backend servers, callers and a site."""
