"""The running border proxy: puts the packages together, lives and dies in order."""
