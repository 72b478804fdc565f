/** Encodes requests to the state service and decodes its answers: maps the protocol's field names to the client's. */
import { revision, version, type Revision, type Version } from '../../core/model/ids.js';
import type { KeyChange } from '../../core/state/cluster-view.js';
import { isObject, type Json } from '../json.js';
import { ProtocolError } from '../protocol-error.js';
import type { WriteReason } from './state-usage.js';

/** Maximum number of keys on one page of a listing. */
const PAGE_SIZE = 1000;

/** A write or removal of one key. */
export interface WriteOperation {
  readonly key: string;
  /** The value to write; undefined removes the key. */
  readonly value: unknown;
  /** Id of the lease with which the key expires; undefined: none. */
  readonly lease?: number;
  /** Label of the write in the usage counters; not sent. */
  readonly reason?: WriteReason;
}

/** A condition of a transaction: the version that a key must have, `NO_VERSION` if it must not exist. */
export interface Guard {
  readonly key: string;
  readonly version: Version;
}

/** A page of a listing of keys, read at `revision`. */
export interface KeyPage {
  readonly rows: KeyChange[];
  readonly hasMore: boolean;
  readonly revision: Revision;
}

/** The changes that a watch request returned, and the revision up to which they are complete. */
export interface WatchedChanges {
  readonly events: KeyChange[];
  readonly revision: Revision;
}

/** Encodes the body of a transaction. */
export const transactionToWire = (guards: readonly Guard[], operations: readonly WriteOperation[]) => ({
  guards: guards.map((guard) => ({ path: guard.key, entryRev: guard.version })),
  then: operations.map(operationToWire),
});

const operationToWire = ({ key, value, lease }: WriteOperation) =>
  value === undefined
    ? { remove: key }
    : { write: key, value, ...(lease === undefined ? {} : { hold: lease }) };

/** Encodes the body of a request for a lease. */
export const leaseToWire = (ttlMs: number) => ({ ttlMs });

/** The query string for a page of keys with the prefix, after the key `after` (null: the first page). */
export const listKeysQuery = (prefix: string, after: string | null): string =>
  `?starts=${encodeURIComponent(prefix)}&most=${PAGE_SIZE}${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;

/** The query string of a watch request, which blocks up to `waitMs` for changes after the revision `from`. */
export const watchQuery = (prefix: string, from: Revision, waitMs: number): string =>
  `?starts=${encodeURIComponent(prefix)}&from=${from}&blockMs=${waitMs}`;

/** The revision in an answer; 0 if it has none. */
export const revisionFromWire = (body: unknown): Revision =>
  revision(isObject(body) ? Number(body['ledgerRev'] ?? 0) : 0);

/** The keys whose guards failed, from the answer to a conflicting transaction; empty if it lists none. */
export const failedFromWire = (body: unknown): string[] =>
  isObject(body) && Array.isArray(body['failed']) ? (body['failed'] as string[]) : [];

/** The id of a granted lease; NaN if the answer has none. */
export const leaseFromWire = (body: unknown): number => (isObject(body) ? Number(body['hold']) : Number.NaN);

/** Decodes a page of a listing. Throws `ProtocolError` if the body is not a JSON object. */
export function rowsFromWire(body: unknown): KeyPage {
  const page = objectFromWire(body, 'listing of keys');
  const rows = ((page['rows'] ?? []) as Json[]).map((row) => ({
    key: String(row['path']),
    value: row['value'],
    version: version(Number(row['entryRev'])),
  }));
  return { rows, hasMore: page['hasNext'] === true, revision: revisionFromWire(page) };
}

/** Decodes a key's value and version. Throws `ProtocolError` if the body is not a JSON object. */
export function entryFromWire(body: unknown): { value: unknown; version: Version } {
  const entry = objectFromWire(body, 'read of a key');
  return { value: entry['value'], version: version(Number(entry['entryRev'])) };
}

/** Decodes the answer to a watch request. Throws `ProtocolError` if the body is not a JSON object. */
export function eventsFromWire(body: unknown): WatchedChanges {
  const answer = objectFromWire(body, 'watch');
  const events = ((answer['events'] ?? []) as Json[]).map((event) => ({
    key: String(event['write'] ?? event['remove']),
    value: event['write'] === undefined ? undefined : event['value'],
    version: version(Number(event['entryRev'])),
  }));
  return { events, revision: revisionFromWire(answer) };
}

function objectFromWire(body: unknown, request: string): Json {
  if (!isObject(body)) {
    const received = body === null ? 'null' : Array.isArray(body) ? 'an array' : typeof body;
    throw new ProtocolError(`${request}: expected a JSON object from the state service, got ${received}`);
  }
  return body;
}
