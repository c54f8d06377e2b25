// A separate bundle, because the parser is several megabytes and rarely needed.
import hcl from 'hcl2-parser';

/** Parses HCL; returns the parsed form, and an error if the text is invalid. */
export const parse = hcl.parseToObject;
