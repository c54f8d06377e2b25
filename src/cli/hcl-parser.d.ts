export function parse(text: string): [unknown, unknown];
