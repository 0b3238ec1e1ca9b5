"""The broker: drives the decision module, carries out what it decides, and decides nothing itself."""
