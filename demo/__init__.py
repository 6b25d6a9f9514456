"""The main job shown from end to end, over separate processes."""
