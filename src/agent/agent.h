/*
 * agent -- the daemon beside one backend server.
 *
 * Admits the requests that entries dispatch, runs them on the model engine or
 * plain service of its VM, and loads and unloads the models whose slots the
 * holder has assigned to it.
 */
#ifndef AGENT_AGENT_H
#define AGENT_AGENT_H

/* Runs `tamarackmast agent`; returns the exit status. */
int agent_main(int argc, char **argv);

#endif
