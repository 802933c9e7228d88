/* Starts the interpreter with the archive that is appended to this executable.
 *
 * Nothing is unpacked to disk and no child process is started: Python modules are read
 * from the archive, extension modules are loaded from anonymous memory files.
 */
#define PY_SSIZE_T_CLEAN
#include <Python.h>
#include <dlfcn.h>

#define SELF "/proc/self/exe"
#define START "import siskinshift_bootstrap; siskinshift_bootstrap.start()"

/* Loads a library that extension modules need; the loader then finds it by soname. */
static PyObject *load_library(PyObject *module, PyObject *args)
{
    const char *path;
    if (!PyArg_ParseTuple(args, "s", &path))
        return NULL;
    if (!dlopen(path, RTLD_NOW | RTLD_GLOBAL))
        return PyErr_Format(PyExc_ImportError, "%s", dlerror());
    Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"load_library", load_library, METH_VARARGS, "Loads a shared library by path."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef definition = {
    PyModuleDef_HEAD_INIT, "_siskinshift_launcher", NULL, -1, methods,
};

static PyObject *make_module(void)
{
    return PyModule_Create(&definition);
}

static int configure(PyConfig *config, int argc, char **argv)
{
    PyStatus status;
    PyConfig_InitIsolatedConfig(config);
    config->parse_argv = 0;
    /* The interpreter's handlers ignore SIGPIPE, but an isolated configuration does not
     * install them. Without them a peer that closes its connection ends the process. */
    config->install_signal_handlers = 1;
    config->write_bytecode = 0;
    config->module_search_paths_set = 1;
    config->buffered_stdio = 0;
    status = PyConfig_SetBytesArgv(config, argc, argv);
    if (PyStatus_Exception(status))
        return -1;
    status = PyConfig_SetBytesString(config, &config->executable, SELF);
    if (PyStatus_Exception(status))
        return -1;
    status = PyWideStringList_Append(&config->module_search_paths, L"" SELF);
    return PyStatus_Exception(status) ? -1 : 0;
}

int main(int argc, char **argv)
{
    PyConfig config;
    PyStatus status;
    PyPreConfig preconfig;
    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1;
    status = Py_PreInitialize(&preconfig);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
    PyImport_AppendInittab("_siskinshift_launcher", make_module);
    if (configure(&config, argc, argv) != 0)
        return 1;
    status = Py_InitializeFromConfig(&config);
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
    if (PyRun_SimpleString(START) != 0)
        return 1;
    return Py_FinalizeEx() < 0 ? 120 : 0;
}
