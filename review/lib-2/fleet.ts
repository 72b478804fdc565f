/** Stand-ins of the cloud and of the workers on its machines, in real time, written from the protocol page. */
import type http from 'node:http';
import { jsonServer, listen, type Json, type Reply } from './json-http.js';
import { Worker, type Task, type WorkerTimings } from './worker.js';

/** A machine type that the cloud rents out. */
export interface MachineType {
  readonly label: string;
  readonly vcpus: number;
  readonly cards: number;
  readonly memoryGb: number;
  readonly readyS: number;
  readonly fetchGbPerS: number;
}

/** What a fleet is made of. */
export interface FleetOptions {
  readonly type: MachineType;
  readonly zones: readonly string[];
  /** Number of machines that the cloud has to give in all zones together. */
  readonly capacity: number;
  /** Time from the rental to the first report. */
  readonly bootMs: number;
  readonly timings: WorkerTimings;
  /** Addresses of all controllers by name. */
  readonly controllers: ReadonlyMap<string, string>;
}

/** A job as its user submitted it, and what a task of it does. */
export interface KnownJob {
  readonly body: Json;
  readonly runMs: number;
  /** Indexes of the tasks that have completed. */
  readonly done: Set<number>;
}

/** Something that happened to a task on a machine. */
export interface TaskEvent {
  readonly kind: 'start' | 'exit';
  readonly machine: string;
  readonly task: string;
  readonly attempt: number;
  readonly cause: string;
}

interface Machine {
  readonly worker: Worker | null;
  readonly zone: string;
  readonly spot: boolean;
  readonly rentedAt: number;
}

const MAX_MACHINES_PER_RENTAL = 50;

/** The machines that the cloud has rented out, with their workers. */
export class Fleet {
  readonly jobs = new Map<string, KnownJob>();
  readonly machines = new Map<string, Machine>();
  /** Called with every start and exit of a task. */
  onTask: (event: TaskEvent) => void = () => undefined;
  private readonly namesByRental = new Map<string, string[]>();
  private readonly servers: http.Server[] = [];
  private readonly gangs = new Map<string, Map<Task, Worker>>();
  private rented = 0;
  private isOpen = true;

  constructor(readonly options: FleetOptions) {}

  /** Answers a request to the cloud. */
  handle(method: string, url: string, body: unknown): Reply {
    const [path = ''] = url.split('?');
    if (path === '/machine_types') return { status: 200, body: { flavors: [this.typeToWire()] } };
    if (path === '/machines/release') return this.release((body as Json)['tellers'] as string[]);
    if (path !== '/machines') return { status: 400, body: null };
    return method === 'POST' ? this.rent(body as Json) : this.list(url);
  }

  /** The waiting and running tasks of one attempt of a gang, with their workers. */
  gangOf(key: string): Map<Task, Worker> {
    const gang = this.gangs.get(key) ?? new Map<Task, Worker>();
    this.gangs.set(key, gang);
    return gang;
  }

  workers(): Worker[] {
    return [...this.machines.values()].flatMap(({ worker }) => worker ?? []);
  }

  close(): void {
    this.isOpen = false;
    for (const worker of this.workers()) worker.end();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  private typeToWire(): Json {
    const { type, zones } = this.options;
    return { ...type, localGb: 100, rate: 6.4, spotPrice: 2.57, vaults: zones };
  }

  private release(names: readonly string[]): Reply {
    for (const name of names) {
      this.machines.get(name)?.worker?.end();
      this.machines.delete(name);
    }
    return { status: 200, body: {} };
  }

  private list(url: string): Reply {
    const query = new URLSearchParams(url.split('?')[1]);
    const from = query.get('from') ?? '';
    const most = Math.min(500, Number(query.get('most') ?? 500));
    const names = [...this.machines.keys()].filter((name) => name > from).sort();
    const tellers = names.slice(0, most).map((name) => {
      const { worker, zone, spot, rentedAt } = this.machines.get(name)!;
      const standing = worker === null ? 'starting' : 'running';
      const ageS = (performance.now() - rentedAt) / 1000;
      return { nameId: name, flavor: this.options.type.label, vault: zone, loaner: spot, standing, ageS };
    });
    return { status: 200, body: { tellers, hasNext: names.length > most } };
  }

  private rent(body: Json): Reply {
    const rental = String(body['rental']);
    const known = this.namesByRental.get(rental);
    if (known !== undefined) return { status: 200, body: { tellers: known } };
    const room = this.options.capacity - this.machines.size;
    const count = Math.min(Number(body['howMany']), room, MAX_MACHINES_PER_RENTAL);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const names = Array.from({ length: count }, () =>
      this.boot(String(body['vault']), body['loaner'] === true),
    );
    this.namesByRental.set(rental, names);
    return { status: 200, body: { tellers: names } };
  }

  private boot(zone: string, spot: boolean): string {
    const name = `n-${String(++this.rented).padStart(6, '0')}`;
    const rentedAt = performance.now();
    this.machines.set(name, { worker: null, zone, spot, rentedAt });
    setTimeout(() => {
      if (this.isOpen && this.machines.has(name)) void this.startWorker(name, { zone, spot, rentedAt });
    }, this.options.bootMs);
    return name;
  }

  private async startWorker(name: string, machine: Omit<Machine, 'worker'>): Promise<void> {
    let worker: Worker | null = null;
    const server = jsonServer((method, url, body) => worker!.handle(method, url, body));
    this.servers.push(server);
    const endpoint = `127.0.0.1:${await listen(server)}`;
    if (!this.isOpen || !this.machines.has(name)) return;
    worker = new Worker(this, { name, endpoint, zone: machine.zone, spot: machine.spot });
    this.machines.set(name, { ...machine, worker });
    worker.run();
  }
}
