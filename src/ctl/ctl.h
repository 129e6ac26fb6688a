/* ctl -- command-line client of the control API, for operators. */
#ifndef CTL_CTL_H
#define CTL_CTL_H

/* Runs `tamarackmast ctl`; returns the exit status. */
int ctl_main(int argc, char **argv);

#endif
