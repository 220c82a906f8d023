"""The running border proxy: puts the rooms together, lives and dies in order."""
