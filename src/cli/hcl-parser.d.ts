// Types of hcl-parser.js, which bundles the HCL parser.

/** Parses HCL; returns the parsed form, and an error if the text is invalid. */
export function parse(text: string): [unknown, unknown];
