/** The cloud: machine types, rentals, returns and the (lagging) list. */
import type { Clock } from '../../core/model/clock.js';
import type { MachineName } from '../../core/model/ids.js';
import type { MachineType, RentalRecord } from '../../core/model/machines.js';
import type { HttpResponse, Transport } from '../http-client.js';
import { paths } from '../paths.js';
import { RateLimiter, type RequestPriority } from '../rate-limiter.js';
import {
  typesFromWire,
  rentalToWire,
  rentedFromWire,
  releaseToWire,
  type ListedMachine,
  listQuery,
  listFromWire,
} from './cloud-messages.js';

const MAX_QUEUED_REQUESTS = 50;

/** What the cloud answered to a rental. */
export type RentalResult =
  | { readonly kind: 'rented'; readonly machines: readonly MachineName[] }
  | { readonly kind: 'no_capacity' }
  /** Perhaps carried out: the same request must be asked again. */
  | { readonly kind: 'unknown' };

/** The client of the cloud's API, within its rate. */
export class CloudClient {
  private readonly limiter: RateLimiter;

  constructor(
    private readonly http: Transport,
    rps: number,
    clock: Clock,
  ) {
    const rate = rps * 0.9;
    this.limiter = new RateLimiter({
      requestRates: { high: rate, low: rate },
      writeRates: { high: 1, low: 1 },
      maxQueued: MAX_QUEUED_REQUESTS,
      maxBorrowFactor: 1,
      clock,
    });
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    priority: RequestPriority,
  ): Promise<HttpResponse | null> {
    if (!(await this.limiter.acquire(priority, 0))) return null;
    try {
      const r = await this.http.request(method, path, body, 5000);
      if (r.status === 429) this.limiter.noteExhausted(0);
      return r;
    } catch {
      return null;
    }
  }

  async types(): Promise<MachineType[] | null> {
    const r = await this.call('GET', paths.types, undefined, 1);
    return r?.status === 200 ? typesFromWire(r.body) : null;
  }

  async rent(r: RentalRecord): Promise<RentalResult> {
    const reply = await this.call('POST', paths.machines, rentalToWire({ ...r, count: r.owners.length }), 1);
    if (reply?.status === 200) return { kind: 'rented', machines: rentedFromWire(reply.body) };
    const refused =
      reply?.status === 400 ||
      (reply?.status === 503 && JSON.stringify(reply.body ?? '').includes('no capacity'));
    return { kind: refused ? 'no_capacity' : 'unknown' };
  }

  /** True: the machines and everything on them are gone. */
  async release(names: readonly MachineName[]): Promise<boolean> {
    const r = await this.call('POST', paths.release, releaseToWire(names), 1);
    return r?.status === 200;
  }

  async list(): Promise<ListedMachine[] | null> {
    const out: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      const r: HttpResponse | null = await this.call('GET', paths.machines + listQuery(after), undefined, 2);
      if (r?.status !== 200) return null;
      const page = listFromWire(r.body);
      out.push(...page.machines);
      if (!page.more || page.machines.length === 0) return out;
      after = page.machines[page.machines.length - 1]!.name;
    }
  }
}
