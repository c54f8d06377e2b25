// A bundle of its own: the parser is several megabytes and seldom needed.
import hcl from 'hcl2-parser';

export const parse = hcl.parseToObject;
