// Types of hcl-parser.js, which bundles the HCL parser.

/** The parsed form of a text in HCL, and the error if it cannot be parsed. */
export function parse(text: string): [unknown, unknown];
