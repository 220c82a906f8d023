"""thorndale: the admission part of a proxy that stands before shared call servers."""
