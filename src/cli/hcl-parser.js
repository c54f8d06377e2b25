// A bundle of its own: the parser is several megabytes and seldom needed.
import hcl from 'hcl2-parser';

/** The parsed form of a text in HCL, and the error if it cannot be parsed. */
export const parse = hcl.parseToObject;
