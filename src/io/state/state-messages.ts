/** Requests to the state service and its answers: the protocol's field names, mapped to those of the client. */
import { revision, version, type Revision, type Version } from '../../core/model/ids.js';
import type { KeyChange } from '../../core/state/cluster-view.js';
import { isObject, type Json } from '../json.js';
import { ProtocolError } from '../protocol-error.js';
import type { WriteReason } from './state-usage.js';

/** Keys on one page of a listing. */
const PAGE_SIZE = 1000;

/** A change to one key. */
export interface WriteOperation {
  readonly key: string;
  /** Undefined: delete. */
  readonly value: unknown;
  readonly lease?: number;
  /** Why it is written; only counted. */
  readonly reason?: WriteReason;
}

/** The version that a key must have. */
export interface Guard {
  readonly key: string;
  readonly version: Version;
}

/** A page of a listing of keys. */
export interface KeyPage {
  readonly rows: KeyChange[];
  readonly hasMore: boolean;
  readonly revision: Revision;
}

/** The changes that a watch has returned, and the revision up to which they are complete. */
export interface WatchedChanges {
  readonly events: KeyChange[];
  readonly revision: Revision;
}

/** The body of a transaction. */
export const transactionToWire = (guards: readonly Guard[], operations: readonly WriteOperation[]) => ({
  guards: guards.map((guard) => ({ path: guard.key, entryRev: guard.version })),
  then: operations.map(operationToWire),
});

const operationToWire = ({ key, value, lease }: WriteOperation) =>
  value === undefined
    ? { remove: key }
    : { write: key, value, ...(lease === undefined ? {} : { hold: lease }) };

/** The body of a request for a lease. */
export const leaseToWire = (ttlMs: number) => ({ ttlMs });

/** The query for a page of keys. */
export const listKeysQuery = (prefix: string, after: string | null): string =>
  `?starts=${encodeURIComponent(prefix)}&most=${PAGE_SIZE}${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;

/** The query of a watch. */
export const watchQuery = (prefix: string, from: Revision, waitMs: number): string =>
  `?starts=${encodeURIComponent(prefix)}&from=${from}&blockMs=${waitMs}`;

/** The revision that an answer names; 0 where it names none. */
export const revisionFromWire = (body: unknown): Revision =>
  revision(isObject(body) ? Number(body['ledgerRev'] ?? 0) : 0);

/** The keys whose guards failed. */
export const failedFromWire = (body: unknown): string[] =>
  isObject(body) && Array.isArray(body['failed']) ? (body['failed'] as string[]) : [];

/** The lease that was granted. */
export const leaseFromWire = (body: unknown): number => (isObject(body) ? Number(body['hold']) : Number.NaN);

/** A page of a listing of keys. Throws `ProtocolError` where the body is no object. */
export function rowsFromWire(body: unknown): KeyPage {
  const page = objectFromWire(body, 'listing');
  const rows = ((page['rows'] ?? []) as Json[]).map((row) => ({
    key: String(row['path']),
    value: row['value'],
    version: version(Number(row['entryRev'])),
  }));
  return { rows, hasMore: page['hasNext'] === true, revision: revisionFromWire(page) };
}

/** A key's value and version. Throws `ProtocolError` where the body is no object. */
export function entryFromWire(body: unknown): { value: unknown; version: Version } {
  const entry = objectFromWire(body, 'key');
  return { value: entry['value'], version: version(Number(entry['entryRev'])) };
}

/** The changes of a watch's answer. Throws `ProtocolError` where the body is no object. */
export function eventsFromWire(body: unknown): WatchedChanges {
  const answer = objectFromWire(body, 'watch');
  const events = ((answer['events'] ?? []) as Json[]).map((event) => ({
    key: String(event['write'] ?? event['remove']),
    value: event['write'] === undefined ? undefined : event['value'],
    version: version(Number(event['entryRev'])),
  }));
  return { events, revision: revisionFromWire(answer) };
}

function objectFromWire(body: unknown, subject: string): Json {
  if (!isObject(body)) throw new ProtocolError(`${subject}: not an object`);
  return body;
}
