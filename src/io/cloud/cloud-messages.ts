/** Requests to the cloud and its answers: the protocol's field names, mapped to those of the core. */
import {
  machineName,
  typeName,
  zoneName,
  type MachineName,
  type TypeName,
  type Zone,
} from '../../core/model/ids.js';
import type { MachineType } from '../../core/model/machines.js';
import { capacityVector } from '../../core/model/resources.js';
import { isObject, type Json } from '../json.js';
import { ProtocolError } from '../protocol-error.js';

/** Machines on one page of the list. */
const PAGE_SIZE = 500;

/** A machine as the cloud lists it. */
export interface ListedMachine {
  readonly name: MachineName;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly state: string;
  readonly ageS: number;
}

/** The machine types of the cloud's answer. Throws `ProtocolError` where it has none. */
export function typesFromWire(body: unknown): MachineType[] {
  if (!isObject(body) || !Array.isArray(body['flavors'])) throw new ProtocolError('machine types: no list');
  return (body['flavors'] as Json[]).map((type) => ({
    name: typeName(String(type['label'])),
    capacity: capacityVector(Number(type['vcpus']), Number(type['memoryGb']), Number(type['cards'] ?? 0)),
    price: Number(type['rate']),
    spotPrice: Number(type['spotPrice'] ?? type['rate']),
    bootS: Number(type['readyS']),
    cacheGb: Number(type['localGb'] ?? 0),
    fetchGbPerS: Number(type['fetchGbPerS'] ?? 1),
    zones: ((type['vaults'] ?? []) as string[]).map(zoneName),
  }));
}

/** The body of a rental request. */
export const rentalToWire = (rental: {
  name: string;
  type: TypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}) => ({
  rental: rental.name,
  flavor: rental.type,
  vault: rental.zone,
  loaner: rental.spot,
  howMany: rental.count,
});

/** The machines of the answer to a rental. */
export const rentedFromWire = (body: unknown): MachineName[] =>
  isObject(body) && Array.isArray(body['tellers']) ? (body['tellers'] as string[]).map(machineName) : [];

/** The body of a request to return machines. */
export const releaseToWire = (names: readonly MachineName[]) => ({ tellers: names });

/** The query for a page of the machine list. */
export const listQuery = (after: string | null): string =>
  `?most=${PAGE_SIZE}${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;
/** A page of the machine list. Throws `ProtocolError` where it has none. */
export function listFromWire(body: unknown): { machines: ListedMachine[]; hasMore: boolean } {
  if (!isObject(body) || !Array.isArray(body['tellers'])) throw new ProtocolError('machine list: no list');
  const machines = (body['tellers'] as Json[]).map((machine) => ({
    name: machineName(String(machine['nameId'])),
    type: typeName(String(machine['flavor'])),
    zone: zoneName(String(machine['vault'])),
    spot: machine['loaner'] === true,
    state: machine['standing'] === 'starting' ? 'booting' : String(machine['standing']),
    ageS: Number(machine['ageS'] ?? 0),
  }));
  return { machines, hasMore: body['hasNext'] === true };
}
