/**
 * Builds and parses the keys of records in the state service.
 *
 * All keys except those of final states have a common prefix, so that a single watch delivers their changes in one
 * order. Other versions of the program read and write the same keys, so their form must never change.
 */
import {
  jobId,
  machineName,
  nodeName,
  teamName,
  type JobId,
  type MachineName,
  type NodeName,
  type TeamName,
} from '../model/ids.js';

/** The common prefix of all watched keys. */
export const WATCHED_PREFIX = 'p/';

const PREFIX = {
  job: 'p/j/',
  machine: 'p/m/',
  team: 'p/t/',
  shard: 'p/o/',
  session: 'p/s/',
  rental: 'p/r/',
  proxiedMachines: 'p/a/',
  cancellation: 'p/c/',
  moreTypes: 'p/types/',
  final: 'f/',
} as const;
const LEADER = 'p/leader';
const TYPES = 'p/types';

/** Builds the keys of all kinds of records. Names of teams, shards and controllers are percent-encoded. */
export const key = {
  job: (id: JobId) => PREFIX.job + id,
  machine: (name: MachineName) => PREFIX.machine + name,
  team: (name: TeamName) => PREFIX.team + encodeURIComponent(name),
  shard: (name: string) => PREFIX.shard + encodeURIComponent(name),
  session: (node: string) => PREFIX.session + encodeURIComponent(node),
  rental: (name: string) => PREFIX.rental + name,
  /**
   * The machines that a controller answers as a proxy; a list that does not fit into part 0 continues in further parts.
   */
  proxiedMachines: (node: string, part = 0) =>
    PREFIX.proxiedMachines + encodeURIComponent(node) + (part === 0 ? '' : `/${part}`),
  cancellation: (id: JobId) => PREFIX.cancellation + id,
  leader: LEADER,
  /** The list of machine types; a list that does not fit into one value continues in `moreTypes`. */
  types: TYPES,
  moreTypes: (part: number) => `${PREFIX.moreTypes}${part}`,
  /** A job's final state. The key is not watched: final states are kept forever and read only on request. */
  final: (id: JobId) => PREFIX.final + id,
};

/** The record that a key stands for. */
export type ParsedKey =
  | { readonly kind: 'job'; readonly job: JobId }
  | { readonly kind: 'machine'; readonly machine: MachineName }
  | { readonly kind: 'team'; readonly team: TeamName }
  | { readonly kind: 'shard'; readonly shard: NodeName }
  | { readonly kind: 'session'; readonly node: NodeName }
  | { readonly kind: 'rental'; readonly rental: string }
  | { readonly kind: 'proxied_machines'; readonly node: NodeName }
  | { readonly kind: 'cancellation'; readonly job: JobId }
  | { readonly kind: 'leader' }
  | { readonly kind: 'types' }
  | { readonly kind: 'final'; readonly job: JobId }
  | { readonly kind: 'unknown' };

/** Parsers of the rest of a key, by prefix; no prefix is the beginning of another one. */
const PARSERS: readonly (readonly [string, (rest: string) => ParsedKey])[] = [
  [PREFIX.job, (rest) => ({ kind: 'job', job: jobId(rest) })],
  [PREFIX.machine, (rest) => ({ kind: 'machine', machine: machineName(rest) })],
  [PREFIX.team, (rest) => ({ kind: 'team', team: teamName(decodeURIComponent(rest)) })],
  [PREFIX.shard, (rest) => ({ kind: 'shard', shard: nodeName(decodeURIComponent(rest)) })],
  [PREFIX.session, (rest) => ({ kind: 'session', node: nodeName(decodeURIComponent(rest)) })],
  [PREFIX.rental, (rest) => ({ kind: 'rental', rental: rest })],
  [
    PREFIX.proxiedMachines,
    (rest) => ({ kind: 'proxied_machines', node: nodeName(decodeURIComponent(rest.split('/')[0]!)) }),
  ],
  [PREFIX.cancellation, (rest) => ({ kind: 'cancellation', job: jobId(rest) })],
  [PREFIX.moreTypes, () => ({ kind: 'types' })],
  [PREFIX.final, (rest) => ({ kind: 'final', job: jobId(rest) })],
];

/** The record that a key stands for; `unknown` for a key in a form that this program does not write. */
export function parseKey(text: string): ParsedKey {
  if (text === LEADER) return { kind: 'leader' };
  if (text === TYPES) return { kind: 'types' };
  try {
    for (const [prefix, parse] of PARSERS)
      if (text.startsWith(prefix)) return parse(text.slice(prefix.length));
  } catch (error) {
    // The name is not valid percent-encoding: no version of this program wrote the key.
    if (!(error instanceof URIError)) throw error;
  }
  return { kind: 'unknown' };
}
