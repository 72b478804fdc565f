/** Type guards for JSON received from other programs. */

/** A JSON object whose fields have not been checked. */
export type Json = Record<string, unknown>;
/** Whether the value is a JSON object; arrays and null are not. */
export const isObject = (x: unknown): x is Json => typeof x === 'object' && x !== null && !Array.isArray(x);
/** Whether the value is a non-negative integer. */
export const isCount = (x: unknown): x is number => typeof x === 'number' && Number.isInteger(x) && x >= 0;
