// A bundle of its own: the parser is several megabytes and seldom needed.
import { parseToObject } from 'hcl2-parser';

export const parse = parseToObject;
