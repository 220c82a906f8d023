"""thorndale: call routing and load control for a border proxy in front of shared central servers."""
