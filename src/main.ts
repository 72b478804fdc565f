/** Entry point of the program. */
import { run } from './cli/cli.js';

void run(process.argv);
