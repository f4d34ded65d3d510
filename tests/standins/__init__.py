"""Small stand-ins for what is outside cactushall."""
