"""What a program tells its operators beside its service: the event log and pages of HTTP."""
