/** Repeats an operation a bounded number of times. */

/** Runs the operation, and again while its result asks for that; returns the last result. */
export async function retryWhile<Result>(
  operation: () => Promise<Result>,
  shouldRetry: (result: Result) => boolean,
  maxRetries: number,
): Promise<Result> {
  let result = await operation();
  for (let retries = 0; retries < maxRetries && shouldRetry(result); retries++) result = await operation();
  return result;
}
