"""The main job of a small site on plain processes of one machine."""
