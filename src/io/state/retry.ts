/** Bounded retries of an asynchronous operation. */

/**
 * Runs an operation, and up to `maxRetries` times again while `shouldRetry` holds for its result. Returns the last
 * result; an operation that throws is not retried.
 */
export async function retryWhile<Result>(
  operation: () => Promise<Result>,
  shouldRetry: (result: Result) => boolean,
  maxRetries: number,
): Promise<Result> {
  let result = await operation();
  for (let retries = 0; retries < maxRetries && shouldRetry(result); retries++) result = await operation();
  return result;
}
