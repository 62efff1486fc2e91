package cresschute.dispatch;

/** What a repeat of a request may do. */
public enum Effect { SAFE, KEYED, UNSAFE }
