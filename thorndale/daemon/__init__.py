"""The border proxy process: assembles the components, and starts and stops them in order."""
