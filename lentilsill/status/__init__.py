"""What is in force where, and the merge of reports."""
