"""Stand-ins that this repository writes itself: hosts, discovery, and the trouble they are told to make."""
