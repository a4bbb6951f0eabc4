"""Who lives: suspicion before verdict, an agreed roster, and what is handed over.

`arrivals` and `grading` judge the other controllers from what is seen of them, `roster` is the
agreed record and the changes that it may undergo, `policy` decides what to write next,
`spread` shares machines out, and `duty` is the one routine that talks.  See docs/membership.md.
"""
