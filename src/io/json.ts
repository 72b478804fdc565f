/** Type guards for JSON that comes from outside. */

/** A JSON object whose fields are not checked yet. */
export type Json = Record<string, unknown>;
/** Whether the value is a JSON object; arrays and null are not. */
export const isObject = (x: unknown): x is Json => typeof x === 'object' && x !== null && !Array.isArray(x);
/** Whether the value is a whole number from 0 on. */
export const isCount = (x: unknown): x is number => typeof x === 'number' && Number.isInteger(x) && x >= 0;
